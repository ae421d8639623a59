// Appends records to one stream in batches: one append is under way at a time, so records keep their order.
#pragma once

#include "daemon/Runtime.h"
#include "observability/MetricsRegistry.h"
#include "platform/HttpLogService.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sapphiredale::daemon {

/// Collects records for a short time or up to a size, whichever comes first.
class BatchAppender {
public:
    /// Receives the offset of the record, or the error of the append; its kind tells whether the record may be there.
    using Handler = std::function<void(Result<std::uint64_t>)>;

    BatchAppender(Runtime&, platform::HttpLogService&, std::string stream, observability::MetricsRegistry&);
    ~BatchAppender();
    BatchAppender(const BatchAppender&) = delete;
    BatchAppender& operator=(const BatchAppender&) = delete;

    void append(std::string record, Handler);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace sapphiredale::daemon
