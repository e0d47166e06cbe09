// Package tenancy finds the tenant to which the API key of a request belongs. It is pure and holds digests of keys
// only.
package tenancy

import (
	"bytes"
	"slices"

	"limehold/routing"
)

// Directory maps API keys to the tenants of one version of the route table.
type Directory struct {
	byKey  map[routing.KeyDigest]*routing.Tenant
	byName map[string]*routing.Tenant
	// defined is set if the table has tenants. Without any, requests need no key.
	defined bool
}

// NewDirectory returns the directory of a document, which must not change afterwards.
func NewDirectory(document *routing.Document) *Directory {
	directory := &Directory{byKey: map[routing.KeyDigest]*routing.Tenant{}, byName: map[string]*routing.Tenant{}}
	for i := range document.Items {
		tenant := document.Items[i].Tenant
		if tenant == nil {
			continue
		}
		directory.defined = true
		directory.byName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			directory.byKey[key] = tenant
		}
	}
	return directory
}

// Defined reports whether the table has tenants.
func (d *Directory) Defined() bool { return d.defined }

// Tenant returns the tenant with the name, or nil.
func (d *Directory) Tenant(name string) *routing.Tenant { return d.byName[name] }

// scheme is the authentication scheme of API keys; schemes are case-insensitive (RFC 9110, section 11.1).
var scheme = []byte("Bearer ")

// Authenticate returns the tenant for the value of a request's Authorization field, or nil if it holds no key of a
// tenant. Keys are compared by digest, so that the time of a comparison shows nothing of a key.
func (d *Directory) Authenticate(authorization []byte) *routing.Tenant {
	if len(authorization) <= len(scheme) || !bytes.EqualFold(authorization[:len(scheme)], scheme) {
		return nil
	}
	return d.byKey[routing.DigestKey(bytes.TrimSpace(authorization[len(scheme):]))]
}

// Allows reports whether a request of a route and a tenant, either of which may be nil, may be served in a region. An
// unknown region, "", is allowed only where all are.
func Allows(route *routing.Route, tenant *routing.Tenant, region string) bool {
	if route != nil && !allows(route.Regions, region) {
		return false
	}
	return tenant == nil || allows(tenant.Regions, region)
}

// Restricts reports whether a request of a route and a tenant, either of which may be nil, is bound to regions.
func Restricts(route *routing.Route, tenant *routing.Tenant) bool {
	return route != nil && len(route.Regions) > 0 || tenant != nil && len(tenant.Regions) > 0
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
