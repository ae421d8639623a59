// Definitions of the members of BasicDomainScheduler. Only files that instantiate it for a cell include this.
#pragma once

#include "ownership/DomainSchedulerHomes.h"
#include "ownership/DomainSchedulerJobs.h"
#include "ownership/DomainSchedulerStatus.h"
#include "ownership/DomainSchedulerTasks.h"
#include "ownership/DomainSchedulerTerm.h"
