#pragma once

#include "hostlist.h"
#include "objectstore.h"
#include "servicefaultinjector.h"
#include "table.h"

#include "common/standinserver.h"

namespace standin {

/** The platform's three services on one port, each with its own faults. */
class Platform
{
public:
  void Handle(Exchange& aExchange);

private:
  /** Returns the host list, or 304 if aIfNoneMatch is its current ETag. */
  ServiceReply Hosts(const std::string& aIfNoneMatch);
  void HandleTable(Exchange& aExchange, const std::string& aOperation);
  void HandleObject(Exchange& aExchange, const std::string& aKey);
  void HandleControl(Exchange& aExchange);

  Table mTable;
  ObjectStore mObjects;
  HostList mHosts;
  ServiceFaultInjector mTableFaults;
  ServiceFaultInjector mObjectFaults;
  ServiceFaultInjector mHostFaults;
};

} // namespace standin
