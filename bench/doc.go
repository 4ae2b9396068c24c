// Package bench is a discrete-event simulation that compares the placement, reservation and admission policies of
// this project with simpler ones, in virtual time and at the sizes of both deployments. It consists of test files:
//
//	go test ./bench -run '^$' -bench Policy -benchtime 1x
package bench
