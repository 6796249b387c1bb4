#include "basilpoint/Daemon/Daemon.h"

namespace basilpoint {

const std::vector<SettingSpec>& daemonSettings()
{
    static const std::vector<SettingSpec> specs {
        { "listen", "127.0.0.1:8080", "Address for callers.", "ADDRESS:PORT" },
        { "operator-listen", "127.0.0.1:8081", "Address for operators.", "ADDRESS:PORT" },
        { "operator-token", "", "Bearer token that operators must send; required unless operator-listen is a loopback address.", "any text" },
        { "peer-listen", "127.0.0.1:8082", "Address for other daemons.", "ADDRESS:PORT" },
        { "peers", "", "Peer addresses of daemons to join; empty for a single daemon.", "ADDRESS:PORT,..." },
        { "platform", "", "Address of the platform's list of instances.", "ADDRESS:PORT or empty" },
        { "peer-certificate", "", "Certificate file for peer links; required unless all peer addresses are loopback addresses.", "a PEM file" },
        { "peer-key", "", "Private key file for peer links.", "a PEM file" },
        { "peer-authority", "", "Certificate authority file for peer links.", "a PEM file" },
        { "data-centre", "local", "Data centre of this instance.", "a name" },
        { "data-folder", "", "Folder of the journal; empty keeps it in memory.", "a folder" },
        { "key-value", "127.0.0.1:2379", "Address of the key-value service's JSON gateway.", "ADDRESS:PORT" },
        { "shards", "64", "Number of shards; must be equal at all daemons and never change.", "1 to 65536", { { 1, 65'536 } } },
        { "log-level", "info", "Lowest severity that is logged.", "trace, debug, info, warn, error" },
        { "max-body-bytes", "4194304", "Largest request body in bytes.", "1024 to 67108864", { { 1'024, 67'108'864 } } },
        { "max-connections", "4096", "Maximum number of concurrent connections of callers.", "1 to 65536", { { 1, 65'536 } } },
        { "idle-timeout-ms", "60000", "Milliseconds after which an idle connection of a caller is closed.", "100 to 3600000", { { 100, 3'600'000 } } },
        { "probe-period-ms", "1000", "Milliseconds between probes of other daemons.", "50 to 60000", { { 50, 60'000 } } },
        { "suspicion-ms", "4000", "Milliseconds after which a suspected daemon is considered dead.", "100 to 600000", { { 100, 600'000 } } },
        { "calls-per-replica", "32", "Maximum number of concurrent model calls of this daemon at one replica.", "1 to 4096", { { 1, 4'096 } } },
        { "drain-ms", "120000", "Maximum time to hand shards over when stopping, in milliseconds.", "0 to 86400000", { { 0, 86'400'000 } } },
    };
    return specs;
}

} // namespace basilpoint
