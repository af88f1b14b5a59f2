/**
 * HTTP/1.1 messages as bytes: incremental parsers of requests and responses, header fields, cookies, and a writer (RFC
 * 9110, RFC 9112, RFC 6265).
 *
 * <p>Pure codecs: nothing here opens a socket, reads a clock or starts a thread, so that each is tested with byte
 * arrays.
 */
package dewplank.http;
