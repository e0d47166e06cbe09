// Package metrics provides the metrics registry of a process and its rendering in the
// Prometheus text format. Every metric name begins with "limehold_" and ends with its unit.
package metrics

import (
	"bytes"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"
	"github.com/rotisserie/eris"
)

const namespace = "limehold"

// Registry holds the metrics of one process.
type Registry struct {
	registry *prometheus.Registry
}

// New returns a registry with the metrics of the process and of Go's runtime.
func New() *Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return &Registry{registry: registry}
}

// Counter registers and returns a counter.
func (r *Registry) Counter(subsystem, name, help string) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	r.registry.MustRegister(counter)
	return counter
}

// CounterVec registers and returns a counter with labels.
func (r *Registry) CounterVec(subsystem, name, help string, labels ...string) *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	r.registry.MustRegister(counter)
	return counter
}

// GaugeVec registers a gauge with labels, whose values the caller sets.
func (r *Registry) GaugeVec(subsystem, name, help string, labels ...string) *prometheus.GaugeVec {
	gauge := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	r.registry.MustRegister(gauge)
	return gauge
}

// Gauge registers a gauge whose value is read when the metrics are collected.
func (r *Registry) Gauge(subsystem, name, help string, read func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, read))
}

// Histogram registers and returns a histogram of durations in seconds.
func (r *Registry) Histogram(subsystem, name, help string, buckets []float64) prometheus.Histogram {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: buckets})
	r.registry.MustRegister(histogram)
	return histogram
}

// Text renders all metrics in the Prometheus text format.
func (r *Registry) Text() ([]byte, error) {
	families, err := r.registry.Gather()
	if err != nil {
		return nil, eris.Wrap(err, "gather metrics")
	}
	var text bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			return nil, eris.Wrapf(err, "render metric %s", family.GetName())
		}
	}
	return text.Bytes(), nil
}
