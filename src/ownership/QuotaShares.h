// Division of the team quotas among the failure domains (design 2.9). The shares sum exactly to the quota, so that the
// sides of a partition together cannot grant more than the quota.
#pragma once

#include "model/ClusterFile.h"

#include <cstdint>
#include <vector>

namespace sapphiredale::ownership {

/// Divides total in proportion to the weights by largest remainder; equal remainders go to the lower index. The parts
/// sum to total; all are zero when every weight is zero. No argument may be negative.
std::vector<std::int64_t> divideByLargestRemainder(std::int64_t total, const std::vector<std::int64_t>& weights);

/// Capacity that the file declares in a failure domain.
Resources declaredCapacity(const ClusterFile&, const FailureDomainId&);

/// The file with the quotas of every team replaced by the part of one domain. Domains that are declared lost get
/// nothing.
ClusterFile fileForDomain(const ClusterFile&, const FailureDomainId&);

} // namespace sapphiredale::ownership
