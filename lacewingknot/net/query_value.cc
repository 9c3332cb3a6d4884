#include "lacewingknot/net/query_value.h"

#include <cctype>

namespace lacewingknot {

std::string EncodeQueryValue(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const bool is_plain =
        std::isalnum(static_cast<unsigned char>(c)) != 0 ||
        std::string_view("-._~/").find(c) != std::string::npos;
    if (is_plain) {
      encoded += c;
      continue;
    }
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte / 16];
    encoded += kDigits[byte % 16];
  }
  return encoded;
}

}  // namespace lacewingknot
