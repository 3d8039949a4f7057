#pragma once

namespace comfreypass::app {

/** Exit codes of the commands; the help of each command documents them. */
enum exit_code : int {
    Success = 0,
    /** The command failed at run time. */
    Failure = 1,
    /** The input cannot be read or is invalid. */
    InvalidInput = 2,
    /** `diff` found a dangerous change. */
    DangerousChange = 3,
    /** `report` found a firing page alert. */
    BudgetBurning = 4,
    /** Invalid arguments; the value of EX_USAGE in sysexits.h. */
    Usage = 64,
};

} // namespace comfreypass::app
