#pragma once

#include "answer_document.hpp"

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/config/configuration.hpp>
#include <geraniumdoor/net/http_types.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>

namespace geraniumdoor
{

/// A request that is answered before it reaches the coordinator.
struct request_refusal
{
    unsigned m_status = 400;
    error_document m_error;
};

/// Checks the form of POST /v1/pipelines/{name} against the configuration. The id of the
/// request is left empty.
result<pipeline_request, request_refusal>
read_caller_request(const http_request& request, const configuration& config,
                    milliseconds longest_deadline, time_point now);

} // namespace geraniumdoor
