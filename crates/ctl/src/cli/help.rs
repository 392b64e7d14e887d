//! Help texts.

pub(crate) const HELP: &str = "\
Changes and shows the steering records.

Usage: wagtail-ctl [OPTIONS] <COMMAND>

Commands:
  put FILE…                      Put the records of JSON files in force; - reads the input
  change KIND NAME FIELD=VALUE…  Change fields of a record; FIELD= removes one
  withdraw KIND NAME             Withdraw a record
  get KIND NAME                  Show a record
  list [KIND]                    List records, with their faults and unknown schemas
  key grant TEAM KEY             Grant a key to a team
  key withdraw TEAM KEY          Withdraw a key from a team
                                 KEY is --digest HEX (SHA-256) or --key-stdin
  drain KIND NAME                Drain an endpoint, zone or region [--cap SHARE] [--stop]
  move SERVICE FROM TO           Move traffic between regions
                                 [--share SHARE] [--cap SHARE] [--ramp SECONDS] [--stop]
  status                         Show hosts and their epochs; latency and refusals too where --entry is
                                 the operators' address of a host
  check FILE…                    Check the records of files by themselves
  explain ID FILE…               Tell from the logs of hosts what became of a request; - reads the input

Options:
      --platform ADDR   The platform [env: WAGTAIL_PLATFORM] [default: 127.0.0.1:7700]
      --entry ADDR      An entry host to ask, may be repeated; by default those of the records
                        [env: WAGTAIL_ENTRY, separated by commas]
      --output FORMAT   table or json [default: table]
      --wait SECONDS    How long to wait until a change is accepted [default: 10]
      --if-epoch EPOCH  Refuse to overwrite a record changed after this epoch
  -h, --help            Show this text

Exit status:
  0  done; a change is accepted
  1  refused, faulty, raced by another operator, or not there
  2  wrong usage
  3  committed, and not yet accepted
  4  the platform or the entry hosts cannot be reached, or the outcome is unknown
";
