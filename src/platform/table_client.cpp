#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/platform/table_client.hpp>
#include <geraniumdoor/platform/table_codec.hpp>

#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned first_client_error = 400;
constexpr unsigned first_server_error = 500;

table_error to_table_error(const http_error& error)
{
    const auto kind =
        error.m_sent ? table_error_kind::no_answer : table_error_kind::not_sent;
    return table_error{kind, std::string{to_text(error.m_kind)} + ": " + error.m_detail};
}

bool is_refusal(unsigned status)
{
    return status >= first_client_error && status < first_server_error;
}

table_error status_error(unsigned status)
{
    const auto kind =
        is_refusal(status) ? table_error_kind::refused : table_error_kind::no_answer;
    return table_error{kind, "status " + std::to_string(status)};
}

template<class T>
result<T, table_error> translate(result<T, decode_error> decoded)
{
    if (not is_ok(decoded))
    {
        return table_error{table_error_kind::no_answer, error_of(decoded).m_detail};
    }
    return value_of(std::move(decoded));
}

table_transaction_end unknown_end(const table_transaction& transaction)
{
    return table_transaction_end{transaction.m_id, table_outcome::unknown, {}};
}

} // namespace

table_client::table_client(http_client& http, asio::ip::tcp::endpoint service,
                           milliseconds timeout)
    : m_http{http}, m_service{std::move(service)}, m_timeout{timeout}
{
}

asio::awaitable<result<table_transaction_end, table_error>>
table_client::run(table_transaction transaction)
{
    http_request request{"POST", "/v1/txn", {}, encode_transaction(transaction)};
    request.m_fields.emplace_back("Content-Type", "application/json");
    http_call_options options;
    options.m_timeout = m_timeout;
    auto end = result<table_transaction_end, decode_error>{decode_error{"no answer"}};
    options.m_may_reuse = [&transaction, &end](const http_response& answer)
    {
        end = decode_transaction_answer(transaction, answer.m_body);
        return is_ok(end);
    };
    auto response =
        co_await m_http.send(m_service, std::move(request), std::move(options));
    if (not is_ok(response))
    {
        if (not error_of(response).m_sent)
        {
            co_return to_table_error(error_of(response));
        }
        co_return unknown_end(transaction);
    }
    const http_response& answer = value_of(response);
    if (is_refusal(answer.m_status))
    {
        co_return status_error(answer.m_status);
    }
    if (answer.m_status != status_ok)
    {
        co_return unknown_end(transaction);
    }
    if (not is_ok(end))
    {
        log_event{"table_answer_rejected"}.add("reason", error_of(end).m_detail);
        co_return unknown_end(transaction);
    }
    co_return value_of(std::move(end));
}

asio::awaitable<result<table_row, table_error>> table_client::read(std::string key)
{
    auto body = co_await get("/v1/rows/" + percent_encode(key));
    if (not is_ok(body))
    {
        co_return error_of(body);
    }
    co_return translate(decode_row(key, value_of(body)));
}

asio::awaitable<result<std::vector<table_row>, table_error>>
table_client::scan(std::string prefix)
{
    auto body = co_await get("/v1/scan?prefix=" + percent_encode(prefix));
    if (not is_ok(body))
    {
        co_return error_of(body);
    }
    co_return translate(decode_rows(prefix, value_of(body)));
}

asio::awaitable<result<std::string, table_error>> table_client::get(std::string target)
{
    http_call_options options;
    options.m_timeout = m_timeout;
    http_request request{"GET", std::move(target), {}, {}};
    auto response =
        co_await m_http.send(m_service, std::move(request), std::move(options));
    if (not is_ok(response))
    {
        co_return to_table_error(error_of(response));
    }
    http_response& answer = value_of(response);
    if (answer.m_status != status_ok)
    {
        co_return status_error(answer.m_status);
    }
    co_return std::move(answer.m_body);
}

} // namespace geraniumdoor
