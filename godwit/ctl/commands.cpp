#include "godwit/ctl/commands.h"

#include "godwit/ctl/line_diff.h"
#include "godwit/ctl/render.h"
#include "godwit/http/error_body.h"
#include "godwit/http/key_digest.h"
#include "godwit/http/target.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <iterator>

namespace Godwit
{
namespace
{

using Json = nlohmann::json;
using Words = std::vector<std::string>;

// One run of the tool: where it asks, what it was told, and where it writes.
struct Run
{
    const AdminClient &client;
    const Words &words;
    const CommandOptions &options;
    std::ostream &out;
    std::ostream &err;
};

struct CommandRow
{
    Words words; // Names of the command; "<x>" stands for one argument.
    int (*run)(const Run &run);
    const char *help;
};

int usage(const Run &run, const std::string &message)
{
    run.err << "godwitctl: " << message << '\n';
    return ExitUsage;
}

// Asks and returns the body of a good answer; otherwise writes the error and sets `exit`.
std::optional<std::string> ask(
    const Run &run, const std::string &method, const std::string &target, const std::string &body, int &exit)
{
    LastReason reason;
    const auto answer = call(run.client, method, target, body, reason);
    if (!answer) {
        run.err << "godwitctl: " << reason->message << '\n';
        exit = ExitUnreachable;
        return std::nullopt;
    }
    if (answer->status < 400) {
        exit = ExitOk;
        return answer->body;
    }
    exit = ExitRefused;
    const auto error = errorFromJson(answer->body);
    if (run.options.json || !error) {
        run.err << answer->body << '\n';
        return std::nullopt;
    }
    run.err << "godwitctl: " << errorName(error->kind) << ": " << error->message << '\n'
            << errorRemedy(error->kind) << '\n';
    return std::nullopt;
}

int askAndPrint(const Run &run, const std::string &method, const std::string &target, const std::string &body = "")
{
    int exit = ExitOk;
    if (const auto answer = ask(run, method, target, body, exit)) {
        run.out << (run.options.json ? *answer + '\n' : renderAnswer(*answer));
    }
    return exit;
}

std::string operationOf(const Run &run)
{
    return run.options.operation.empty() ? boost::uuids::to_string(boost::uuids::random_generator()())
                                         : run.options.operation;
}

std::optional<std::int64_t> parseAmount(const std::string &text)
{
    std::int64_t amount = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || amount < 0) {
        return std::nullopt;
    }
    return amount;
}

std::string budgetPath(const std::string &budget)
{
    return "/admin/v1/budgets/" + percentEncode(budget);
}

std::string configPath(const Run &run, const std::string &path)
{
    return "/admin/v1/config?site=" + percentEncode(run.options.site) + "&path=" + percentEncode(path);
}

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream in(name);
    if (!in) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

int showStatus(const Run &run)
{
    return askAndPrint(run, "GET", "/admin/v1/status");
}

int showRouters(const Run &run)
{
    return askAndPrint(run, "GET", "/admin/v1/routers");
}

int showCustomers(const Run &run)
{
    return askAndPrint(run, "GET", "/admin/v1/customers");
}

int showRoutes(const Run &run)
{
    return askAndPrint(run, "GET", "/admin/v1/routes");
}

int showEndpoints(const Run &run)
{
    return askAndPrint(run, "GET", "/admin/v1/endpoints");
}

int showAddresses(const Run &run)
{
    if (run.options.key.empty()) {
        return usage(run,
                     "name the customer's API key with --key; the answer is the one that this customer's callers get");
    }
    AdminClient caller = run.client;
    caller.address = run.words[1];
    caller.token = run.options.key;
    return askAndPrint(Run{caller, run.words, run.options, run.out, run.err}, "GET", "/v1/addresses");
}

int createOneBudget(const Run &run)
{
    const auto amount = parseAmount(run.words[4]);
    if (!amount) {
        return usage(run, "'" + run.words[4] + "' is not a number of tokens; write a whole number from 0");
    }
    const Json body = {{"customer", run.words[3]}, {"prepaid", *amount}, {"operation", operationOf(run)}};
    return askAndPrint(run, "PUT", budgetPath(run.words[2]), body.dump());
}

int changeAmount(const Run &run, const char *kind)
{
    const auto amount = parseAmount(run.words[3]);
    if (!amount) {
        return usage(run, "'" + run.words[3] + "' is not a number of tokens; write a whole number from 0");
    }
    const Json body = {{"amount", *amount}, {"operation", operationOf(run)}};
    return askAndPrint(run, "POST", budgetPath(run.words[2]) + "/" + kind, body.dump());
}

int topUpBudget(const Run &run)
{
    return changeAmount(run, "top-ups");
}

int reduceBudget(const Run &run)
{
    return changeAmount(run, "reductions");
}

int showOneBudget(const Run &run)
{
    return askAndPrint(run, "GET", budgetPath(run.words[2]));
}

int resolveDoubt(const Run &run)
{
    return askAndPrint(run, "POST", "/admin/v1/ledgers/" + percentEncode(run.words[2]) + "/resolve-doubt");
}

int showConfigAt(const Run &run, const std::string &path)
{
    int exit = ExitOk;
    const auto answer = ask(run, "GET", configPath(run, path), "", exit);
    if (!answer) {
        return exit;
    }
    const auto body = Json::parse(*answer, nullptr, false);
    if (run.options.json || !body.is_object()) {
        run.out << *answer << '\n';
        return exit;
    }
    run.out << "# revision " << body.value("revision", 0) << '\n' << body.value("text", "") << '\n';
    return exit;
}

int showConfig(const Run &run)
{
    return showConfigAt(run, "");
}

int showConfigPath(const Run &run)
{
    return showConfigAt(run, run.words[2]);
}

int diffConfig(const Run &run)
{
    const auto file = readFile(run.words[2]);
    if (!file) {
        return usage(run, "can't read " + run.words[2]);
    }
    int exit = ExitOk;
    const auto answer = ask(run, "GET", configPath(run, ""), "", exit);
    if (!answer) {
        return exit;
    }
    const auto body = Json::parse(*answer, nullptr, false);
    const std::string diff = lineDiff(body.is_object() ? body.value("text", "") : "", *file);
    run.out << diff;
    return diff.empty() ? ExitOk : ExitDiffers;
}

int sendPatch(const Run &run, const std::string &path, const Json &value, std::int64_t revision)
{
    const Json body = {{"id", operationOf(run)},
                       {"site", run.options.site},
                       {"path", path},
                       {"value", value},
                       {"expected_revision", revision}};
    return askAndPrint(run, "POST", "/admin/v1/config/patches", body.dump());
}

// The revision that the author has seen: as given, or as it stands now.
std::optional<std::int64_t> revisionOf(const Run &run, int &exit)
{
    if (!run.options.expectedRevision.empty()) {
        const auto revision = parseAmount(run.options.expectedRevision);
        exit = revision ? ExitOk : usage(run, "--expected-revision takes the number that 'config show' prints");
        return revision;
    }
    const auto answer = ask(run, "GET", configPath(run, ""), "", exit);
    if (!answer) {
        return std::nullopt;
    }
    const auto body = Json::parse(*answer, nullptr, false);
    return body.is_object() ? body.value("revision", std::int64_t{0}) : 0;
}

int applyConfig(const Run &run)
{
    const auto file = readFile(run.words[2]);
    if (!file) {
        return usage(run, "can't read " + run.words[2]);
    }
    // Without the revision that the file was made from, the tool would undo what others changed meanwhile.
    if (run.options.expectedRevision.empty()) {
        return usage(run,
                     "name the revision that the file was made from with --expected-revision; 'config show' prints it, "
                     "a new fleet has 0");
    }
    int exit = ExitOk;
    const auto revision = revisionOf(run, exit);
    return revision ? sendPatch(run, "", *file, *revision) : exit;
}

int setConfig(const Run &run)
{
    int exit = ExitOk;
    const auto revision = revisionOf(run, exit);
    return revision ? sendPatch(run, run.words[2], run.words[3], *revision) : exit;
}

int removeConfig(const Run &run)
{
    int exit = ExitOk;
    const auto revision = revisionOf(run, exit);
    return revision ? sendPatch(run, run.words[2], nullptr, *revision) : exit;
}

int showHistory(const Run &run)
{
    return askAndPrint(run, "GET", "/admin/v1/config/history");
}

int drainRouter(const Run &run)
{
    return askAndPrint(run, "POST", "/admin/v1/drain");
}

int digestKey(const Run &run)
{
    run.out << sha256Hex(run.words[1]) << '\n';
    return ExitOk;
}

const std::vector<CommandRow> &commandRows()
{
    static const std::vector<CommandRow> rows = {
        {{"status"}, showStatus, "this router: state, revision, calls"},
        {{"routers"}, showRouters, "the routers that this one knows as live"},
        {{"addresses", "<ip:port>"}, showAddresses, "the addresses that a customer's callers get there (--key)"},
        {{"customers"}, showCustomers, "customers in force"},
        {{"routes"}, showRoutes, "routes in force"},
        {{"endpoints"}, showEndpoints, "endpoints in force"},
        {{"budgets", "create", "<budget>", "<customer>", "<tokens>"},
         createOneBudget,
         "create a prepaid budget (--operation)"},
        {{"budgets", "top-up", "<budget>", "<tokens>"}, topUpBudget, "add to it, once for each --operation"},
        {{"budgets", "reduce", "<budget>", "<tokens>"},
         reduceBudget,
         "take from it what is not billed, once for each --operation"},
        {{"budgets", "show", "<budget>"}, showOneBudget, "prepaid, billed, free and who holds the rest"},
        {{"budgets", "resolve-doubt", "<incarnation>"},
         resolveDoubt,
         "give up the bills of a dead router and its witnesses; read docs/BUDGETS.md first"},
        {{"config", "show"}, showConfig, "the base, or an overlay (--site), with its revision"},
        {{"config", "show", "<path>"}, showConfigPath, "the value at a path, such as customers.a.share"},
        {{"config", "diff", "<file>"}, diffConfig, "what a file would change"},
        {{"config", "apply", "<file>"}, applyConfig, "replace the base or an overlay (--expected-revision)"},
        {{"config", "set", "<path>", "<value>"}, setConfig, "set one path to a TOML value"},
        {{"config", "remove", "<path>"}, removeConfig, "remove one path"},
        {{"config", "history"}, showHistory, "who changed what and when"},
        {{"drain"}, drainRouter, "stop this router without cutting a call"},
        {{"digest", "<key>"}, digestKey, "the digest of an API key or token, for the configuration"},
    };
    return rows;
}

bool matches(const Words &pattern, const Words &words)
{
    if (pattern.size() != words.size()) {
        return false;
    }
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (pattern[i].front() != '<' && pattern[i] != words[i]) {
            return false;
        }
    }
    return true;
}

std::string joined(const Words &words)
{
    std::string text;
    for (const auto &word : words) {
        text += text.empty() ? word : " " + word;
    }
    return text;
}

} // namespace

std::string commandHelp()
{
    constexpr std::size_t column = 46;
    std::string text;
    for (const auto &row : commandRows()) {
        std::string line = "  " + joined(row.words);
        line.append(line.size() < column ? column - line.size() : 1, ' ');
        text += line + row.help + '\n';
    }
    return text;
}

int runCommand(
    const AdminClient &client, const Words &words, const CommandOptions &options, std::ostream &out, std::ostream &err)
{
    const Run run{client, words, options, out, err};
    for (const auto &row : commandRows()) {
        if (matches(row.words, words)) {
            return row.run(run);
        }
    }
    std::string near;
    for (const auto &row : commandRows()) {
        if (!words.empty() && row.words.front() == words.front()) {
            near += "\n  " + joined(row.words);
        }
    }
    return usage(
        run, "no such command: '" + joined(words) + "'" + (near.empty() ? "; --help lists them" : "; there is" + near));
}

} // namespace Godwit
