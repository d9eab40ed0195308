#pragma once

#include "libtrefoilio/callrunner.h"

#include <string>
#include <vector>

namespace trefoilarchctl {

/** What became of one HTTP call. */
struct Answer
{
  enum class Kind
  {
    Complete,
    NeverSent, /**< nobody has seen the call */
    Lost,      /**< somebody may have seen it */
  };

  Kind mKind = Kind::NeverSent;
  int mStatus = 0;
  std::string mBody{};
};

/** Speaks to the operator ports of one or more processes, in turn. */
class OperatorClient
{
public:
  /** Base URLs such as http://127.0.0.1:7100. */
  explicit OperatorClient(std::vector<std::string> aBases);

  /** Asks each in turn until one answers whole; safe to repeat. */
  Answer Get(const std::string& aPath);

  /** Sends to the first that is reached, and to one only. */
  Answer Post(const std::string& aPath, const std::string& aBody);

private:
  Answer Call(const std::string& aMethod,
              const std::string& aUrl,
              const std::string& aBody);

  const std::vector<std::string> mBases;
  trefoilio::CallRunner mRunner;
};

} // namespace trefoilarchctl
