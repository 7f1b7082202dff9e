// Package orders plays all orders of a few events, for tests of code whose faults show in some orders only.
package orders

import "slices"

// Event is something that can happen in a world. Run reports false if it cannot happen in the present state.
type Event[W any] struct {
	Name string
	Run  func(W) bool
}

// Model describes a world: how it begins, what can happen, what later events depend on, and what has to hold.
type Model[W any] struct {
	New    func() W
	Events []Event[W]
	// State names the state of a world. Two worlds of the same state have the same futures.
	State func(W) string
	// Check returns what is wrong in a world, or an empty string. It may change the world, which is not used afterwards.
	Check func(W) string
}

// Result is the outcome of Explore.
type Result struct {
	Orders, States int      // that were played and found
	Failed         []string // names of the events before the first failure, or nil
	Problem        string   // what Check returned
}

// Explore plays all orders of up to depth events, shorter ones first and those from the same state once, until Check fails.
func (m Model[W]) Explore(depth int) (r Result) {
	seen := map[string]bool{}
	level := [][]int{nil}
	for range depth {
		var next [][]int
		for _, path := range level {
			for e := range m.Events {
				longer := append(slices.Clone(path), e)
				world, possible := m.play(longer)
				if !possible {
					continue
				}
				r.Orders++
				state := m.State(world)
				if seen[state] {
					continue
				}
				seen[state] = true
				r.States++
				if r.Problem = m.Check(world); r.Problem != "" {
					for _, e := range longer {
						r.Failed = append(r.Failed, m.Events[e].Name)
					}
					return r
				}
				next = append(next, longer)
			}
		}
		level = next
	}
	return r
}

func (m Model[W]) play(path []int) (world W, possible bool) {
	world = m.New()
	for _, e := range path {
		if !m.Events[e].Run(world) {
			return world, false
		}
	}
	return world, true
}
