// Flags by TCLAP, environment variables by the layer over it.

#include "ctl/Options.h"

#include <memory>
#include <sstream>
#include <tclap/CmdLine.h>

namespace jacinthspindle {

namespace {

    constexpr const char* usage = R"(usage: jacinthspindlectl COMMAND [flags]

commands
  table check      check the CSV files in --dir; names each fault by file, line and column
  table diff       show what --dir would change against the last accepted table
  table apply      commit --dir as a change of --base (default: the revision that 'table show' wrote to --dir)
  table show       write the last accepted table, or --revision, to --dir
  table history    list the accepted changes
  table revert     accept the rows of --revision again, as a new change
  timeline         show the records of all daemons in causal order; --request or --subject filter
  replay           run recorded inputs through the decision code and compare with the recorded decisions, and with
                   the outcomes stated in --outcomes; exit status 70 on a divergence
  status           show the state of each daemon
  health           exit status 0 if each daemon is ready
  drain            ask each daemon to stop taking new work

flags (each has an environment variable, for example JACINTHSPINDLE_TABLE_SERVICE)
  --table-service IP:port   --object-store IP:port   --daemons IP:port[,IP:port...]
  --dir DIR                 folder of workspaces.csv, routes.csv and endpoints.csv
  --base N  --revision N  --author NAME  --change-id ID
  --request ID  --subject NAME  --files FILE[,FILE...]  --out FILE  --outcomes FILE
  --timeout-ms N            for each request to the platform or a daemon (default 2000)
  --json                    machine-readable output

examples
  jacinthspindlectl table show --dir table --table-service 10.0.0.5:7000
  jacinthspindlectl table check --dir table && jacinthspindlectl table apply --dir table --author asma
  jacinthspindlectl timeline --request 4bf92f3577b34da6 --daemons 10.0.1.1:8080,10.0.1.2:8080
  jacinthspindlectl replay --files trace.bin --outcomes outcomes.txt
)";

    std::vector<std::string> splitCommas(const std::string& text)
    {
        std::vector<std::string> items;
        std::istringstream stream(text);
        for (std::string it; std::getline(stream, it, ',');) {
            if (!it.empty())
                items.push_back(it);
        }
        return items;
    }

    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<unsigned long long>;

    // The arguments of TCLAP, which refer to the command line that holds them.
    struct Flags {
        TCLAP::CmdLine line { "jacinthspindlectl", ' ', "0.1.0", false };
        Text directory { "", "dir", "", false, ".", "folder", line };
        Text tableService { "", "table-service", "", false, "", "address", line };
        Text objectStore { "", "object-store", "", false, "", "address", line };
        Text daemons { "", "daemons", "", false, "", "addresses", line };
        Text files { "", "files", "", false, "", "files", line };
        Number base { "", "base", "", false, 0, "revision", line };
        Number revision { "", "revision", "", false, 0, "revision", line };
        Text author { "", "author", "", false, "operator", "name", line };
        Text changeId { "", "change-id", "", false, "", "id", line };
        Text request { "", "request", "", false, "", "id", line };
        Text subject { "", "subject", "", false, "", "name", line };
        Text out { "", "out", "", false, "", "file", line };
        Text outcomes { "", "outcomes", "", false, "", "file", line };
        TCLAP::ValueArg<unsigned> timeout { "", "timeout-ms", "", false, 2000, "milliseconds", line };
        TCLAP::SwitchArg json { "", "json", "", line };
        TCLAP::UnlabeledMultiArg<std::string> words { "command", "what to do", true, "command", line };
    };

    Options readFlags(Flags& flags)
    {
        Options options;
        options.words = flags.words.getValue();
        options.directory = flags.directory.getValue();
        options.tableService = flags.tableService.getValue();
        options.objectStore = flags.objectStore.getValue();
        options.daemons = splitCommas(flags.daemons.getValue());
        options.files = splitCommas(flags.files.getValue());
        if (flags.base.isSet())
            options.base = flags.base.getValue();
        if (flags.revision.isSet())
            options.revision = flags.revision.getValue();
        options.author = flags.author.getValue();
        options.changeId = flags.changeId.getValue();
        options.request = flags.request.getValue();
        options.subject = flags.subject.getValue();
        options.out = flags.out.getValue();
        options.outcomes = flags.outcomes.getValue();
        options.timeout = std::chrono::milliseconds(flags.timeout.getValue());
        options.json = flags.json.getValue();
        return options;
    }

    bool hasFlag(const std::vector<std::string>& arguments, const std::string& flag)
    {
        return std::find(arguments.begin(), arguments.end(), flag) != arguments.end();
    }

} // namespace

std::optional<Options> parseOptions(const std::vector<std::string>& arguments, Reason& reason)
{
    if (hasFlag(arguments, "--help") || hasFlag(arguments, "-h")) {
        reason = { ResultCode::Ok, usage };
        return std::nullopt;
    }
    if (hasFlag(arguments, "--version")) {
        reason = { ResultCode::Ok, "jacinthspindlectl 0.1.0\n" };
        return std::nullopt;
    }
    auto all
        = withEnvironment(arguments, { "table-service", "object-store", "daemons", "author", "timeout-ms", "dir" });
    all.insert(all.begin(), "jacinthspindlectl");
    try {
        auto flags = std::make_unique<Flags>();
        flags->line.setExceptionHandling(false);
        flags->line.parse(all);
        return readFlags(*flags);
    } catch (const TCLAP::ArgException& error) {
        reason = { ResultCode::UsageInvalid, error.argId() + ": " + error.error() + "; see --help\n" };
    }
    return std::nullopt;
}

} // namespace jacinthspindle
