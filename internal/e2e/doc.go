// Package e2e holds end-to-end tests. They run the whole system as separate
// processes on loopback addresses while hosts are killed, suspended, partitioned
// and replaced. The tests need the build tag "e2e".
package e2e
