package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// number formats x with three significant digits. Numbers of 999.5 or more are
// rounded to integers, with commas between groups of three digits.
func number(x float64) string {
	if x < 0 {
		return "-" + number(-x)
	}
	switch {
	case x == 0:
		return "0"
	case x >= 999.5:
		return commas(int64(math.Round(x)))
	case x >= 0.001:
		decimals := max(0, 2-int(math.Floor(math.Log10(x))))
		s := strconv.FormatFloat(x, 'f', decimals, 64)
		if strings.Contains(s, ".") {
			s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
		}
		return s
	default:
		return strconv.FormatFloat(x, 'g', 3, 64)
	}
}

// commas formats n, which isn't negative, with commas between groups of three
// digits.
func commas(n int64) string {
	s := strconv.FormatInt(n, 10)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

// percent formats a fraction as a percentage.
func percent(x float64) string { return number(100*x) + "%" }

// megabytes and kilobytes format bytes in units of 2^20 and 2^10.
func megabytes(x float64) string { return number(x/(1<<20)) + " MB" }
func kilobytes(x float64) string { return number(x/(1<<10)) + " KB" }

// duration formats nanoseconds in a suitable unit.
func duration(ns float64) string {
	switch d := time.Duration(ns); {
	case d >= 2*time.Hour:
		return number(ns/float64(time.Hour)) + " h"
	case d >= 2*time.Minute:
		return number(ns/float64(time.Minute)) + " min"
	case d >= time.Second:
		return number(ns/float64(time.Second)) + " s"
	case d >= time.Millisecond:
		return number(ns/float64(time.Millisecond)) + " ms"
	case d >= time.Microsecond:
		return number(ns/float64(time.Microsecond)) + " µs"
	default:
		return number(ns) + " ns"
	}
}

// seconds formats a duration given in seconds.
func seconds(s float64) string { return duration(s * float64(time.Second)) }

// verdict reports whether a value is within its budget, or else by which factor
// it exceeds it.
func verdict(value, budget float64) string {
	if value <= budget {
		return "met"
	}
	return fmt.Sprintf("**%s times over**", number(value/budget))
}
