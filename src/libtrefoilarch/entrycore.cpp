#include "entrycore.h"

#include "entryimpl.h"

#include <utility>

namespace trefoilarch {

EntryCore::EntryCore(EntryOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

EntryCore::~EntryCore() = default;

EntryActions
EntryCore::OnRequest(EntryRequest aRequest, Millis aNow)
{
  mImpl->OnRequest(std::move(aRequest), aNow);
  return mImpl->TakeActions();
}

EntryActions
EntryCore::OnCallerLeft(RequestId aId, Millis aNow)
{
  mImpl->OnCallerLeft(aId, aNow);
  return mImpl->TakeActions();
}

EntryActions
EntryCore::OnMessage(const UpstreamId& aUpstream,
                     SidecarMessage aMessage,
                     Millis aNow)
{
  mImpl->OnMessage(aUpstream, std::move(aMessage), aNow);
  return mImpl->TakeActions();
}

EntryActions
EntryCore::OnChannelUp(const UpstreamId& aUpstream, Millis aNow)
{
  mImpl->OnChannelUp(aUpstream, aNow);
  return mImpl->TakeActions();
}

EntryActions
EntryCore::OnChannelDown(const UpstreamId& aUpstream, Millis aNow)
{
  mImpl->OnChannelDown(aUpstream, aNow);
  return mImpl->TakeActions();
}

EntryActions
EntryCore::OnTick(Millis aNow)
{
  mImpl->OnTick(aNow);
  return mImpl->TakeActions();
}

EntryActions
EntryCore::SetUpstreams(std::vector<UpstreamView> aUpstreams,
                        const std::vector<UpstreamId>& aLeaving,
                        Millis aNow)
{
  mImpl->SetUpstreams(std::move(aUpstreams), aLeaving, aNow);
  return mImpl->TakeActions();
}

void
EntryCore::SetClassifier(std::shared_ptr<const Classifier> aClassifier)
{
  mImpl->SetClassifier(std::move(aClassifier));
}

bool
EntryCore::NeedsChannel(const UpstreamId& aUpstream) const
{
  return mImpl->NeedsChannel(aUpstream);
}

size_t
EntryCore::OpenRequests() const
{
  return mImpl->OpenRequests();
}

Millis
EntryCore::NextWake() const
{
  return mImpl->NextWake();
}

std::string
EntryCore::DumpState(Millis aNow) const
{
  return mImpl->DumpState(aNow);
}

} // namespace trefoilarch
