/**
 * HTTP/1.1 messages as bytes: incremental parsers of requests and responses, header fields, cookies, and a writer (RFC
 * 9110, RFC 9112, RFC 6265).
 *
 * <p>Pure codecs: this package opens no sockets, reads no clock and starts no threads, so tests need only byte arrays.
 */
package dewplank.http;
