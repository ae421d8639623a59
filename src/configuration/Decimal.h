// Decimal text of amounts in thousandths.
#pragma once

#include <cstdint>
#include <string>

namespace sapphiredale::configuration {

/// The shortest decimal number, for example 1500 as "1.5" and 64000 as "64".
inline std::string decimalOfThousandths(std::int64_t thousandths)
{
    std::string text = std::to_string(thousandths / 1000);
    const std::int64_t rest = thousandths % 1000;
    if (rest == 0)
        return text;
    std::string decimals = std::to_string(1000 + rest).substr(1);
    decimals.erase(decimals.find_last_not_of('0') + 1);
    return text + '.' + decimals;
}

} // namespace sapphiredale::configuration
