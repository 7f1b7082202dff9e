package placement

import "time"

// maxCrossingFraction is the fraction of the shortest latency target that a round trip between data centres may take while
// statements are assigned to hosts without regard to data centres. Such a statement makes up to two round trips, and each one
// inside a transaction makes them again.
const maxCrossingFraction = 0.04

// RoutingInput is what DecideRouting depends on.
type RoutingInput struct {
	LoadControl   bool          // the settings ask for decisions under load, which one host makes for each target
	Crossing      time.Duration // round trip between data centres; 0 if it is not known
	LatencyTarget time.Duration // shortest one of the routes; 0 if there is none
}

// DecideRouting reports whether statements should be assigned to hosts by target, and why.
func DecideRouting(in RoutingInput) (byTarget bool, cause string) {
	switch {
	case in.LoadControl:
		return true, "load_control"
	case in.LatencyTarget > 0 && in.Crossing.Seconds() > maxCrossingFraction*in.LatencyTarget.Seconds():
		return true, "crossing"
	}
	return false, ""
}
