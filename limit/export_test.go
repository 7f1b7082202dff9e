package limit

// Guards that tests switch off to show that the checks depend on them.
const (
	GuardLoanDating  = "loan dating"
	GuardLevelZero   = "level zero"
	GuardOutstanding = "outstanding"
	GuardGrantEnd    = "grant end"
	GuardLoanOutlast = "loan outlasts grant"
	GuardRefill      = "refill"
)

// WithoutGuard runs f while a guard is switched off.
func WithoutGuard(guard string, f func()) {
	defer func(d guards) { disabled = d }(disabled)
	switch guard {
	case GuardLoanDating:
		disabled.loanDating = true
	case GuardLevelZero:
		disabled.levelZero = true
	case GuardOutstanding:
		disabled.outstanding = true
	case GuardGrantEnd:
		disabled.grantEnd = true
	case GuardLoanOutlast:
		disabled.loanOutlast = true
	case GuardRefill:
		disabled.refill = true
	}
	f()
}
