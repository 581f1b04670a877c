// Package pabucket implements token buckets, which bound log lines and notes to neighbours.
package pabucket
