#include "run_program.hpp"

#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

// Guards against a wrong command line or settings file that is half understood: an exit
// code 0 or 1 where scripts expect 2, or a message that does not name what is wrong.
TestSuite(command_line);

namespace
{

struct wrong_use
{
    std::string m_command;
    std::string m_message;
};

void expect_wrong_use(const std::vector<wrong_use>& uses)
{
    for (const auto& use : uses)
    {
        const auto end = run_program(use.m_command);
        cr_expect(end.m_code == 2, "%s: exit code %d", use.m_command.c_str(), end.m_code);
        cr_expect(end.says(use.m_message), "%s: %s", use.m_command.c_str(),
                  end.m_text.c_str());
    }
}

} // namespace

Test(command_line, help_and_version_of_each_program)
{
    for (const std::string program : {"geraniumdoord", "gdctl", "gdcall"})
    {
        const auto help = run_program(program + " --help");
        cr_expect(help.m_code == 0 && help.says("Exit codes: 0"), "%s",
                  help.m_text.c_str());
        const auto version = run_program(program + " --version");
        cr_expect(version.m_code == 0 && version.m_text.starts_with(program + ' '), "%s",
                  version.m_text.c_str());
    }
}

Test(command_line, a_wrong_command_line_of_the_daemon_exits_with_2)
{
    expect_wrong_use({
        {"geraniumdoord", "--settings FILE is required"},
        {"geraniumdoord --setings x", "setings"},
        {"geraniumdoord --settings", "settings"},
        {"geraniumdoord --settings x extra", "\"extra\" is not an option"},
        {"geraniumdoord --settings /nonexistent/entry.json --check", "No such file"},
    });
}

Test(command_line, a_wrong_command_line_of_gdctl_exits_with_2)
{
    expect_wrong_use({
        {"gdctl", "accepted commands:"},
        {"gdctl --host 127.0.0.1:24001", "accepted commands:"},
        {"gdctl hosts", "--host: at least one IP:PORT"},
        {"gdctl --host localhost:24001 hosts", "but is \"localhost:24001\""},
        {"gdctl --host 127.0.0.1:0 hosts", "--host: must be an IP number"},
        {"gdctl --host 127.0.0.1:24001 --verbos hosts", "verbos"},
        {"gdctl --host 127.0.0.1:24001 data-centre out", "accepted commands:"},
        {"gdctl --host 127.0.0.1:24001 data-centre out x", "--operator: must be"},
        {"gdctl --host 127.0.0.1:24001 --operator ade data-centre off x",
         "accepted are \"out NAME\" and \"in NAME\""},
        {"gdctl --host 127.0.0.1:24001 --operator ade change pool llm weight 3",
         "change: accepted are"},
        {"gdctl --host 127.0.0.1:24001 --operator ade change pool llm warm_limit x",
         "warm_limit must be a whole number"},
        {"gdctl --host 127.0.0.1:24001 --operator ade import /nonexistent/sheet.csv",
         "No such file"},
        {"gdctl --host 127.0.0.1:24001 --operator ade forget-host entry-1 7",
         "Add --yes"},
        {"gdctl --host 127.0.0.1:24001 --operator ade forget-host entry-1 x --yes",
         "INCARNATION a whole number"},
    });
}

Test(command_line, a_wrong_command_line_of_gdcall_exits_with_2)
{
    const std::string most = "gdcall --pipeline advice --workspace households ";
    expect_wrong_use({
        {"gdcall", "--host is required"},
        {"gdcall --host 127.0.0.1:24001", "--pipeline is required"},
        {most + "--host localhost:24001", "--host: must be an IP number"},
        {most + "--host 127.0.0.1:24001 --deadline-ms soon", "soon"},
        {most + "--host 127.0.0.1:24001 --input '{'", "--input: must be JSON"},
        {most + "--host 127.0.0.1:24001 --retry", "retry"},
        {most + "--host 127.0.0.1:24001 again", "\"again\" is not an option"},
    });
}

Test(command_line, a_host_that_does_not_answer_exits_with_1)
{
    const auto ctl = run_program("gdctl --host 127.0.0.1:24001 hosts");
    cr_expect(ctl.m_code == 1 && ctl.says("127.0.0.1:24001: connect_failed"), "%s",
              ctl.m_text.c_str());
    const auto change = run_program(
        "gdctl --host 127.0.0.1:24001 --operator ade --change-id c7 data-centre out x");
    cr_expect(change.m_code == 1 && change.says("change-status c7"), "%s",
              change.m_text.c_str());
    const auto call = run_program(
        "gdcall --pipeline advice --workspace households --host 127.0.0.1:24001");
    cr_expect(call.m_code == 1 && call.says("no entry host could be reached"), "%s",
              call.m_text.c_str());
}

Test(command_line, check_accepts_every_annotated_example)
{
    for (const std::string path :
         {"examples/farm/entry-1.json", "examples/print/entry-1.json"})
    {
        const auto end = run_program("geraniumdoord --check --settings " + path);
        cr_expect(end.m_code == 0, "%s", end.m_text.c_str());
        cr_expect(end.says(path + ": the settings are valid"), "%s", end.m_text.c_str());
    }
}

Test(command_line, check_names_all_faults_of_a_settings_file_in_one_go)
{
    const scratch_file file{"faulty.json", R"({
        // Five faults.
        "node": "entry 1", "data_centre": "ibadan-1",
        "caller_address": "localhost:80", "admin_address": "127.0.0.1:24002",
        "peer_address": "127.0.0.1:24002", "table_service": "127.0.0.1:24000",
        "host_list": "127.0.0.1:24000", "http": {"conections": 5}})"};
    const auto end = run_program("geraniumdoord --check --settings " + file.path());
    EXPECT_EQUAL(end.m_code, 2);
    for (const char* fault :
         {"node: must be 1 to 64", "region: is missing", "caller_address: must be an IP",
          "peer_address: must differ from admin_address",
          "http.conections: is not a known key"})
    {
        cr_expect(end.says(fault), "%s is missing in %s", fault, end.m_text.c_str());
    }
    const scratch_file broken{"broken.json", "{\n  \"node\": entry\n}"};
    const auto syntax = run_program("geraniumdoord --check --settings " + broken.path());
    EXPECT_EQUAL(syntax.m_code, 2);
    cr_expect(syntax.says("syntax error at line 2, column 11"), "%s",
              syntax.m_text.c_str());
}
