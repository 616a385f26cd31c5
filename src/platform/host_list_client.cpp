#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/platform/host_list_client.hpp>

#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;

} // namespace

host_list_client::host_list_client(http_client& http, asio::ip::tcp::endpoint service,
                                   milliseconds timeout)
    : m_http{http}, m_service{std::move(service)}, m_timeout{timeout}
{
}

asio::awaitable<result<std::optional<host_list>, host_list_error>>
host_list_client::read()
{
    http_call_options options;
    options.m_timeout = m_timeout;
    http_request request{"GET", "/v1/hosts", {}, {}};
    if (!m_tag.empty())
    {
        request.m_fields.emplace_back("If-None-Match", m_tag);
    }
    auto response =
        co_await m_http.send(m_service, std::move(request), std::move(options));
    if (not is_ok(response))
    {
        const http_error& error = error_of(response);
        co_return host_list_error{host_list_error_kind::no_answer,
                                  std::string{to_text(error.m_kind)} + ": " +
                                      error.m_detail};
    }
    const http_response& answer = value_of(response);
    if (answer.m_status == status_not_modified)
    {
        co_return std::optional<host_list>{};
    }
    if (answer.m_status != status_ok)
    {
        co_return host_list_error{host_list_error_kind::bad_status,
                                  "status " + std::to_string(answer.m_status)};
    }
    auto list = decode_host_list(answer.m_body);
    if (not is_ok(list))
    {
        co_return host_list_error{host_list_error_kind::malformed,
                                  error_of(list).m_detail};
    }
    m_tag = std::string{find_field(answer.m_fields, "ETag")};
    m_list_bytes = answer.m_body.size();
    co_return std::optional<host_list>{value_of(std::move(list))};
}

} // namespace geraniumdoor
