package limit

// Names of the guards, for WithoutGuard.
const (
	GuardLoanTimestamp     = "loan timestamp"
	GuardZeroLevel         = "zero level"
	GuardOutstanding       = "outstanding"
	GuardGrantExpiry       = "grant expiry"
	GuardLoanOutlastsGrant = "loan outlasts grant"
	GuardRefillTolerance   = "refill"
)

// WithoutGuard runs f with one guard disabled, to verify that the checks depend on it.
func WithoutGuard(guard string, f func()) {
	defer func(d guards) { disabled = d }(disabled)
	switch guard {
	case GuardLoanTimestamp:
		disabled.loanTimestamp = true
	case GuardZeroLevel:
		disabled.zeroLevel = true
	case GuardOutstanding:
		disabled.outstanding = true
	case GuardGrantExpiry:
		disabled.grantExpiry = true
	case GuardLoanOutlastsGrant:
		disabled.loanOutlastsGrant = true
	case GuardRefillTolerance:
		disabled.refillTolerance = true
	}
	f()
}
