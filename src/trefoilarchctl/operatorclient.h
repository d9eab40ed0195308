#pragma once

#include "libtrefoilio/callrunner.h"

#include <string>
#include <vector>

namespace trefoilarchctl {

/** The result of one HTTP call. */
struct Answer
{
  enum class Kind
  {
    Complete,
    NeverSent, /**< no process received the call */
    Lost,      /**< a process may have received it */
  };

  Kind mKind = Kind::NeverSent;
  int mStatus = 0;
  std::string mBody{};
};

/** Calls the operator ports of one or more processes in turn. */
class OperatorClient
{
public:
  /** Base URLs such as http://127.0.0.1:7100. */
  explicit OperatorClient(std::vector<std::string> aBases);

  /** Tries each port until one returns a complete response; idempotent. */
  Answer Get(const std::string& aPath);

  /** Sends to the first port that can be reached, and to no other. */
  Answer Post(const std::string& aPath, const std::string& aBody);

private:
  Answer Call(const std::string& aMethod,
              const std::string& aUrl,
              const std::string& aBody);

  const std::vector<std::string> mBases;
  trefoilio::CallRunner mRunner;
};

} // namespace trefoilarchctl
