// Account of the answers that are being received.

#include "platform/AnswerBudget.h"

namespace sapphiredale::platform {

AnswerBudget& AnswerBudget::ofProcess()
{
    static AnswerBudget budget;
    return budget;
}

bool AnswerBudget::add(std::size_t bytes)
{
    if (m_used.fetch_add(bytes) + bytes <= m_limit)
        return true;
    m_used -= bytes;
    return false;
}

} // namespace sapphiredale::platform
