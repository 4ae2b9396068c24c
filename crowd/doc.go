// Package crowd contains tests in which many clients at once send more than an entry process can hold. Each runs the
// program as a process of its own and checks that it lives, that its memory and file descriptors stay within those of
// its machine, and that ordinary requests are answered. The tests run one at a time, apart from other load.
package crowd
