// Package soak runs seeded series of faults against real processes of
// parsleyhilld -platform. docs/SOAK.md describes how to run and replay it.
package soak
