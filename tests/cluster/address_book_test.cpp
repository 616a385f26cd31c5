#include "testing.hpp"

#include <geraniumdoor/cluster/address_book.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

member_update member_with(const std::string& id, const std::string& data_centre,
                          std::uint32_t capacity)
{
    member_update info;
    info.m_node = node_id{id};
    info.m_data_centre = data_centre_id{data_centre};
    info.m_free_capacity = capacity;
    return info;
}

bool never_out(const data_centre_id&)
{
    return false;
}

bool b_is_out(const data_centre_id& id)
{
    return id.m_value == "b";
}

} // namespace

// Guards against callers that are sent to a node that stops, to a data centre that is
// out, or all to the same node.
TestSuite(address_book);

Test(address_book, leaving_suspected_and_out_nodes_are_not_named)
{
    random_source random{1};
    std::vector<member_update> live{member_with("n1", "a", 5), member_with("n2", "a", 5),
                                    member_with("n3", "b", 5), member_with("n4", "a", 5)};
    live[1].m_leaving = true;
    live[3].m_state = member_state::suspect;
    const auto answer = make_address_answer({}, live, b_is_out, random);
    cr_assert(answer.m_addresses.size() == 1);
    EXPECT_EQUAL(answer.m_addresses[0].m_node, node_id{"n1"});
    EXPECT_EQUAL(answer.m_keep, 10s);
}

Test(address_book, any_address_is_better_than_none)
{
    random_source random{1};
    std::vector<member_update> live{member_with("n1", "a", 5), member_with("n2", "b", 5)};
    live[0].m_leaving = true;
    auto answer = make_address_answer({}, live, b_is_out, random);
    EXPECT_EQUAL(answer.m_addresses.at(0).m_node, node_id{"n1"});
    live.erase(live.begin());
    answer = make_address_answer({}, live, b_is_out, random);
    EXPECT_EQUAL(answer.m_addresses.at(0).m_node, node_id{"n2"});
}

Test(address_book, the_first_address_follows_the_free_capacity)
{
    random_source random{20261204};
    const std::vector<member_update> live{
        member_with("n1", "a", 0), member_with("n2", "a", 9), member_with("n3", "a", 89)};
    std::map<std::string, int> first;
    constexpr int draws = 10'000;
    for (int draw = 0; draw < draws; ++draw)
    {
        const auto answer = make_address_answer({}, live, never_out, random);
        ++first[answer.m_addresses.at(0).m_node.m_value];
    }
    // Expected 100, 1,000 and 8,900; the bounds are five standard deviations wide.
    cr_expect(std::abs(first["n1"] - 100) < 50);
    cr_expect(std::abs(first["n2"] - 1000) < 150);
    cr_expect(std::abs(first["n3"] - 8900) < 157);
}

Test(address_book, an_answer_names_each_node_once_and_at_most_eight)
{
    const bool holds = rc::check(
        [](std::vector<std::uint32_t> capacities, std::uint32_t seed)
        {
            std::vector<member_update> live;
            for (const std::uint32_t capacity : capacities)
            {
                live.push_back(
                    member_with("n" + std::to_string(live.size()), "a", capacity));
            }
            random_source random{seed};
            const auto answer = make_address_answer({}, live, never_out, random);
            std::vector<node_id> named;
            for (const auto& address : answer.m_addresses)
            {
                named.push_back(address.m_node);
            }
            std::sort(named.begin(), named.end());
            RC_ASSERT(std::unique(named.begin(), named.end()) == named.end());
            RC_ASSERT(named.size() == std::min<std::size_t>(live.size(), 8));
        });
    cr_expect(holds);
}
