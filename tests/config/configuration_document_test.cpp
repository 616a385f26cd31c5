#include "sample_configuration.hpp"

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/config/configuration_document.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;

// Guards against a configuration that changes on its way through the table service, and
// against one whose parts do not fit together.
TestSuite(configuration_document);

namespace
{

std::string faults_of(const configuration& config)
{
    const auto decoded = decode_configuration(encode_configuration(config));
    return is_ok(decoded) ? "" : to_text(error_of(decoded));
}

void expect_fault(const configuration& config, const std::string& part)
{
    const std::string faults = faults_of(config);
    cr_expect(faults.find(part) != std::string::npos, "no \"%s\" in: %s", part.c_str(),
              faults.c_str());
}

} // namespace

Test(configuration_document, a_configuration_comes_back_unchanged)
{
    configuration config = sample_configuration();
    config.m_data_centres[1].m_state = data_centre_state::out;
    config.m_data_centres[1].m_mark = {config_version{4}, 2, {"c-9"}};
    const auto decoded = decode_configuration(encode_configuration(config));
    cr_assert(is_ok(decoded), "%s", to_text(error_of(decoded)).c_str());
    cr_expect(value_of(decoded) == config);
}

Test(configuration_document, each_broken_reference_is_named_by_its_path)
{
    configuration config = sample_configuration();
    config.m_pipelines[0].m_stages[0].m_pool = {"lmm"};
    config.m_demands[0].m_workspace = {"rider"};
    config.m_demands[1].m_pipeline = {"renew"};
    expect_fault(config, "pipelines[0].stages[0].pool: names no pool");
    expect_fault(config, "demands[0].workspace: names no workspace");
    expect_fault(config, "demands[1].pipeline: names no pipeline");
}

Test(configuration_document, duplicate_ids_are_refused_in_every_table)
{
    configuration config = sample_configuration();
    config.m_data_centres.push_back(config.m_data_centres[0]);
    config.m_pools.push_back(config.m_pools[0]);
    config.m_pipelines.push_back(config.m_pipelines[0]);
    config.m_workspaces.push_back(config.m_workspaces[0]);
    config.m_demands.push_back(config.m_demands[0]);
    expect_fault(config, "data_centres[2].id: repeats the id \"ibadan-1\"");
    expect_fault(config, "pools[2].id: repeats");
    expect_fault(config, "pipelines[2].id: repeats");
    expect_fault(config, "workspaces[2].id: repeats");
    expect_fault(config, "demands[2]: repeats the demand");
}

Test(configuration_document, values_that_make_no_sense_together_are_refused)
{
    configuration config = sample_configuration();
    config.m_pools[0].m_cold_limit = 9;
    config.m_pipelines[0].m_stages[0].m_idempotent = false;
    config.m_pipelines[1].m_stages[1].m_name = "debit";
    expect_fault(config, "pools[0].cold_limit: must not exceed warm_limit, which is 8");
    expect_fault(config,
                 "pipelines[0].stages[0].idempotent: may be false only in a pool");
    expect_fault(config, "pipelines[1].stages[1].name: repeats the name \"debit\"");
}

Test(configuration_document, values_out_of_range_are_refused_with_the_range)
{
    configuration config = sample_configuration();
    config.m_workspaces[0].m_priority = 10;
    config.m_pools[1].m_timeout = milliseconds{0};
    config.m_demands[0].m_wanted_per_s = -1;
    expect_fault(config, "workspaces[0].priority: must be a whole number from 0 to 9");
    expect_fault(config, "pools[1].timeout_ms: must be a whole number from 1 to 600000");
    expect_fault(config, "demands[0].wanted_per_s: must be a number from 0");
    config.m_demands[0].m_wanted_per_s = 0;
    cr_expect_eq(check_configuration(config).size(), 2u);
}

Test(configuration_document, a_configuration_without_data_centres_is_refused)
{
    configuration config = sample_configuration();
    config.m_data_centres.clear();
    expect_fault(config, "data_centres: must be from 1");
}

Test(configuration_document, random_and_truncated_bytes_never_decode_to_an_unsound_one)
{
    const std::string text = encode_configuration(sample_configuration());
    for (std::size_t length = 0; length < text.size(); ++length)
    {
        cr_expect(not is_ok(decode_configuration(text.substr(0, length))));
    }
    random_source random{20261204};
    for (int i = 0; i < 3000; ++i)
    {
        std::string damaged = text;
        const auto size = static_cast<std::uint32_t>(damaged.size());
        damaged[uniform_below(random, size)] = static_cast<char>(random());
        const auto decoded = decode_configuration(damaged);
        cr_expect(not is_ok(decoded) || check_configuration(value_of(decoded)).empty());
    }
}
