/** The operators' configuration: parsing, validation, patches, the route table and the history of accepted changes. */
package dewplank.configuration;
