#include "calleruploads.h"

#include "bootclock.h"
#include "callerconnection.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace trefoilgate {

using namespace trefoilarch;

CallerUploads::CallerUploads(boost::asio::io_context& aLoop,
                             UploadBudgetOptions aOptions)
  : mLoop(aLoop)
  , mBudget(std::make_shared<UploadBudget>(aOptions))
{
  mBudget->OnRoom([this] { ScheduleAdmission(); });
}

CallerUploads::~CallerUploads()
{
  // Bodies may outlive the gateway on their way to upstreams.
  mBudget->OnRoom(nullptr);
}

std::shared_ptr<UploadMemory>
CallerUploads::Begin()
{
  return std::make_shared<UploadMemory>(mBudget, ++mLastId);
}

void
CallerUploads::Await(UploadId aUpload, CallerConnection& aCaller)
{
  mWaiting[aUpload] = &aCaller;
}

void
CallerUploads::ScheduleAdmission()
{
  if (std::exchange(mAdmissionDue, true)) {
    return;
  }
  boost::asio::post(mLoop, [this] {
    mAdmissionDue = false;
    Admit();
  });
}

void
CallerUploads::Admit()
{
  for (const UploadId each : mBudget->TakeAdmitted(BootNow())) {
    const auto caller = mWaiting.extract(each);
    if (!caller.empty()) {
      caller.mapped()->OnUploadAdmitted();
    }
  }
}

} // namespace trefoilgate
