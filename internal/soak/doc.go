// Package soak plays seeded series of faults against real processes of
// parsleyhilld -platform. docs/SOAK.md says how to run and replay it.
package soak
