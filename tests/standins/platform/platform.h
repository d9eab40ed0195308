#pragma once

#include "faultgate.h"
#include "hostlist.h"
#include "objectstore.h"
#include "table.h"

#include "common/standinserver.h"

namespace standin {

/** The platform's three services behind one port, each with its faults. */
class Platform
{
public:
  void Handle(Exchange& aExchange);

private:
  /** The list; without a body where the caller knows it by its tag. */
  GateReply Hosts(const std::string& aKnownTag);
  void HandleTable(Exchange& aExchange, const std::string& aOperation);
  void HandleObject(Exchange& aExchange, const std::string& aKey);
  void HandleControl(Exchange& aExchange);

  Table mTable;
  ObjectStore mObjects;
  HostList mHosts;
  FaultGate mTableGate;
  FaultGate mObjectGate;
  FaultGate mHostGate;
};

} // namespace standin
