//! Fields that resemble those for the length of a body.

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version};
use rilltrack::protocol::framing;

fn check(method: &Method, version: Version, name: &str) -> Result<(), framing::Error> {
    let mut headers = HeaderMap::new();
    headers.insert(
        HeaderName::try_from(name).unwrap(),
        HeaderValue::from_static("5"),
    );
    framing::check_response(method, StatusCode::OK, version, &headers)
}

macro_rules! names {
    ($($test:ident: $method:ident $version:ident $name:literal => $is_valid:literal;)*) => {$(
        // Guards against a damaged field for the length, and a sound field that is taken for one.
        #[test]
        fn $test() {
            let checked = check(&Method::$method, Version::$version, $name);
            assert_eq!(checked.is_ok(), $is_valid, "{checked:?}");
        }
    )*};
}

names! {
    damaged_byte: GET HTTP_11 "content-lengtx" => false;
    four_damaged_bytes: GET HTTP_11 "c#nt!nt_lengt~" => false;
    lost_byte: GET HTTP_11 "ontent-length" => false;
    byte_too_many: GET HTTP_11 "content--length" => false;
    damaged_coding: GET HTTP_10 "transfer-encodinx" => false;
    no_body_in_the_response_to_head: HEAD HTTP_11 "content-lengtx" => true;
    frames_of_http_2: GET HTTP_2 "content-lengtx" => true;
    content_language: GET HTTP_11 "content-language" => true;
    content_location: GET HTTP_11 "content-location" => true;
    content_encoding: GET HTTP_11 "content-encoding" => true;
    name_with_a_prefix: GET HTTP_11 "x-content-length" => true;
    another_name_as_long: GET HTTP_11 "accept-charset" => true;
}
