#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/request_identity.hpp>

#include <array>
#include <string>

namespace geraniumdoor::serving
{

request_identity identify_request(const workspace_id& caller, std::string_view method,
                                  std::string_view host, std::string_view target,
                                  std::string_view body)
{
    const std::string body_hash = std::to_string(stable_hash(body));
    const std::array<std::string_view, 5> fields{caller.m_value, method, host, target,
                                                 body_hash};
    // The lengths keep the boundaries of the fields.
    std::string text;
    for (const std::string_view field : fields)
    {
        text += std::to_string(field.size());
        text += ':';
        text += field;
    }
    return request_identity{stable_hash(text)};
}

} // namespace geraniumdoor::serving
