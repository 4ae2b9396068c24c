// Package bench is a discrete-event simulation that compares the placement, reservation and admission policies of
// this project with simpler ones, in virtual time and at the sizes of the deployments cierzo and kuiseb. All code is in
// test files. The tests check the targets of the project's policy; the benchmarks report the metrics of all policies:
//
//	go test ./bench -run '^$' -bench Policy -benchtime 1x
package bench
