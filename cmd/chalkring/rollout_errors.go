package main

import "fmt"

// MissingStoreError is an installation that takes part in changes in stages without a store.
type MissingStoreError struct{}

func (*MissingStoreError) Error() string { return "fleet.rollout without fleet.store" }

// Advice tells an operator what to do.
func (*MissingStoreError) Advice() string {
	return "Name a file in `fleet.store`: an instance has to know after a crash what it was running."
}

// ProgramVersionError is a program of another version than the change asks for.
type ProgramVersionError struct{ Path, Want, Got string }

func (e *ProgramVersionError) Error() string {
	return fmt.Sprintf("%s tells version %.80q, not %q", e.Path, e.Got, e.Want)
}

// Advice tells an operator what to do.
func (e *ProgramVersionError) Advice() string {
	return "Put the program that the change means at its path on every instance, or mend program.version in a change with a new number."
}

// PlanMismatchError is a change whose settings do not fit this instance's plan.
type PlanMismatchError struct {
	Number  uint64
	Setting string
	Why     string
}

func (e *PlanMismatchError) Error() string {
	return fmt.Sprintf("change %d does not fit this plan: %s %s", e.Number, e.Setting, e.Why)
}

// Advice tells an operator what to do.
func (e *PlanMismatchError) Advice() string {
	return "Give all instances plans with the same classes and tenants in the same order, or take the change back; `Name` beside a setting of a class or tenant says which is meant."
}
