// Package bench measures the policies of placement, reservation and admission in virtual time by discrete events, at
// the sizes of both deployments and beside simpler policies. All of it is in test files:
//
//	go test ./bench -run '^$' -bench Policy -benchtime 1x
package bench
