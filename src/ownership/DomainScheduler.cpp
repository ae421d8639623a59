// The domain scheduler with the real placement core.

#include "ownership/DomainSchedulerImpl.h"

namespace sapphiredale::ownership {

template class BasicDomainScheduler<placement::Cell>;

} // namespace sapphiredale::ownership
