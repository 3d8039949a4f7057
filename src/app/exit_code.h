#pragma once

namespace comfreypass::app {

/** Exit codes of the commands, as their helps document them. */
enum exit_code : int {
    Success = 0,
    /** A command failed while it ran. */
    Failure = 1,
    /** Input that cannot be read or is not valid. */
    InvalidInput = 2,
    /** `diff` found a dangerous change. */
    DangerousChange = 3,
    /** `report` found a page alert that fires. */
    BudgetBurning = 4,
    /** The arguments are wrong; the value is EX_USAGE of sysexits.h. */
    Usage = 64,
};

} // namespace comfreypass::app
