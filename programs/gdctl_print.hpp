#pragma once

#include "gdctl_client.hpp"

#include <ostream>
#include <string>

namespace geraniumdoor
{

/// Prints the answer as it is, or as "key: value" lines and a table for each array of
/// objects.
void print_answer(std::ostream& out, const http_response& answer, bool as_json);

/// Asks each host of /admin/hosts what it knows of the change, and prints which hosts
/// have it in force.
void print_hosts_in_force(std::ostream& out, gdctl_client& client,
                          const std::string& change);

} // namespace geraniumdoor
