// Package e2e tests the whole system as separate processes on loopback
// addresses while hosts are killed, frozen, cut off and replaced. The tests
// are behind the build tag "e2e".
package e2e
