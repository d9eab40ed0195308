#pragma once

#include "callerbuffers.h"

#include "libtrefoilarch/buffering/connectionbudget.h"

#include <functional>
#include <unordered_map>

namespace trefoilgate {

class CallerConnection;

/** Carries out the decisions of a ConnectionBudget at callers' connections. */
class CallerMemory
{
public:
  CallerMemory(trefoilarch::ConnectionBudgetOptions aOptions,
               std::function<void(const CutCaller&)> aOnCut);

  trefoilarch::ConnectionBudget& Budget() { return mBudget; }
  const trefoilarch::ConnectionBudget& Budget() const { return mBudget; }

  /** Returns the connection's id. */
  trefoilarch::ConnectionId Add(CallerConnection& aCaller);
  void Remove(trefoilarch::ConnectionId aConnection);
  /** Closes connections until the bound holds again. */
  void EnforceBound();

private:
  trefoilarch::ConnectionBudget mBudget;
  std::function<void(const CutCaller&)> mOnCut;
  std::unordered_map<trefoilarch::ConnectionId, CallerConnection*> mCallers;
  trefoilarch::ConnectionId mLastId = 0;
};

} // namespace trefoilgate
