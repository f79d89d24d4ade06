//! Bounds the upstreams that are lost under a request.

mod decision;
