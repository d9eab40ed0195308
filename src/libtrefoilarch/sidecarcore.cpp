#include "sidecarcore.h"
#include "sidecarimpl.h"

#include <utility>

namespace trefoilarch {

SidecarCore::SidecarCore(SidecarOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

SidecarCore::~SidecarCore() = default;

SidecarActions
SidecarCore::OnMessage(const EntryId& aEntry,
                       EntryMessage aMessage,
                       Millis aNow)
{
  mImpl->Begin(aNow);
  mImpl->OnMessage(aEntry, std::move(aMessage));
  return mImpl->Finish();
}

SidecarActions
SidecarCore::OnEntryDown(const EntryId& aEntry, Millis aNow)
{
  mImpl->Begin(aNow);
  mImpl->OnEntryDown(aEntry);
  return mImpl->Finish();
}

SidecarActions
SidecarCore::OnCall(CallEvent aEvent, Millis aNow)
{
  mImpl->Begin(aNow);
  mImpl->OnCall(std::move(aEvent));
  return mImpl->Finish();
}

SidecarActions
SidecarCore::OnTick(Millis aNow)
{
  mImpl->Begin(aNow);
  mImpl->OnTick();
  return mImpl->Finish();
}

SidecarActions
SidecarCore::Drain(Millis aNow)
{
  mImpl->Begin(aNow);
  mImpl->Drain();
  return mImpl->Finish();
}

SidecarActions
SidecarCore::Undrain(Millis aNow)
{
  mImpl->Begin(aNow);
  mImpl->Undrain();
  return mImpl->Finish();
}

bool
SidecarCore::Idle() const
{
  return mImpl->Idle();
}

void
SidecarCore::SetPolicyVersion(uint64_t aVersion)
{
  mImpl->mPolicyVersion = aVersion;
}

Millis
SidecarCore::NextWake() const
{
  return mImpl->NextWake();
}

Load
SidecarCore::CurrentLoad() const
{
  return mImpl->CurrentLoad();
}

std::string
SidecarCore::DumpState(Millis aNow) const
{
  return mImpl->DumpState(aNow);
}

} // namespace trefoilarch
