#pragma once

#include "uploadmemory.h"

#include "libtrefoilarch/buffering/uploadbudget.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <unordered_map>

namespace trefoilgate {

class CallerConnection;

/** Carries out the decisions of an UploadBudget at callers' connections. */
class CallerUploads
{
public:
  CallerUploads(boost::asio::io_context& aLoop,
                trefoilarch::UploadBudgetOptions aOptions);
  ~CallerUploads();
  CallerUploads(const CallerUploads&) = delete;
  CallerUploads& operator=(const CallerUploads&) = delete;

  trefoilarch::UploadBudget& Budget() { return *mBudget; }
  const trefoilarch::UploadBudget& Budget() const { return *mBudget; }

  /** The memory of a request that the connection begins to read. */
  std::shared_ptr<UploadMemory> Begin();
  /** CallerConnection::OnUploadAdmitted() is called once the waiting request
   * has its memory. */
  void Await(trefoilarch::UploadId aUpload, CallerConnection& aCaller);
  void Cancel(trefoilarch::UploadId aUpload) { mWaiting.erase(aUpload); }

private:
  void ScheduleAdmission();
  void Admit();

  boost::asio::io_context& mLoop;
  std::shared_ptr<trefoilarch::UploadBudget> mBudget;
  std::unordered_map<trefoilarch::UploadId, CallerConnection*> mWaiting;
  trefoilarch::UploadId mLastId = 0;
  bool mAdmissionDue = false;
};

} // namespace trefoilgate
