// Package crowd opens many misbehaving connections to a real process of
// parsleyhilld -platform and checks that it stays within the memory and the
// descriptors of its settings.
package crowd
