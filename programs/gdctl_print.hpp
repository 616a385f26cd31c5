#pragma once

#include "gdctl_wait.hpp"

#include <boost/json/array.hpp>

#include <ostream>
#include <vector>

namespace geraniumdoor
{

/// Prints the answer as it is, or as "key: value" lines without the empty ones, and a
/// table for each array of objects.
void print_answer(std::ostream& out, const http_response& answer, bool as_json);

/// Prints what each host knows of a change.
void print_hosts(std::ostream& out, const std::vector<host_change>& hosts);

/// The same as rows of a JSON answer.
boost::json::array to_rows(const std::vector<host_change>& hosts);

} // namespace geraniumdoor
