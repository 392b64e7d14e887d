//! Help texts.

pub(crate) const HELP: &str = "\
Changes and shows the records of the traffic steering configuration.

Usage: wagtail-ctl [OPTIONS] <COMMAND>

Commands:
  put FILE…                      Write the records of JSON files; - reads standard input
  change KIND NAME FIELD=VALUE…  Set fields of a record; FIELD= removes a field
  withdraw KIND NAME             Withdraw a record
  get KIND NAME                  Show a record
  list [KIND]                    List records, noting faults and unknown schemas
  key grant TEAM KEY             Grant a key to a team
  key withdraw TEAM KEY          Withdraw a key from a team
                                 KEY is --digest HEX (SHA-256) or --key-stdin
  drain KIND NAME                Drain an endpoint, zone or region [--cap SHARE] [--stop]
  move SERVICE FROM TO           Move traffic between regions
                                 [--share SHARE] [--cap SHARE] [--ramp SECONDS] [--stop]
  status                         Show hosts and their epochs, and latency and refusals if --entry is
                                 the operators' address of a host
  check FILE…                    Validate files as if they were the whole configuration
  explain ID FILE…               Explain the outcome of a request from host logs; - reads standard input

Options:
      --platform ADDR   Address of the platform [env: WAGTAIL_PLATFORM] [default: 127.0.0.1:7700]
      --entry ADDR      Address of an entry host to query, may be repeated; by default the
                        entry hosts of the configuration
                        [env: WAGTAIL_ENTRY, separated by commas]
      --output FORMAT   Output format, table or json [default: table]
      --wait SECONDS    How long to wait for a change to be accepted [default: 10]
      --if-epoch EPOCH  Do not overwrite a record changed after this epoch
  -h, --help            Print this help

Exit status:
  0  done; a change is accepted
  1  refused, faulty, raced by another operator, or not found
  2  wrong usage
  3  committed but not yet accepted
  4  the platform or the entry hosts cannot be reached, or the outcome is unknown
";
