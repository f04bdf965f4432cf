// Package standin serves the stand-ins that take the platform's and the
// endpoints' place in tests and in the demo. They are no part of the product.
package standin
